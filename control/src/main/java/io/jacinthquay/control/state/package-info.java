/** The replicated state: the document in force, closed failure domains, sealed usage. */
package io.jacinthquay.control.state;
