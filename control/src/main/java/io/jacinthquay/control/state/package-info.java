/** The replicated state: the document in force, closed failure domains, sealed usage counts. */
package io.jacinthquay.control.state;
