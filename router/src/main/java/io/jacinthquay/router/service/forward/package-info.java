/**
 * Forwards requests that describe themselves in headers, by a routing document.
 *
 * <p>Everything here happens on the one I/O thread of the server, so nothing is locked.
 */
package io.jacinthquay.router.service.forward;
