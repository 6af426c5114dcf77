/** What the control program needs from the outside. */
package io.jacinthquay.control.port;
