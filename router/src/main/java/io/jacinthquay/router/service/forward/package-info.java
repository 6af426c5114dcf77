/**
 * Forwards requests to upstreams by their headers and a routing document.
 *
 * <p>Unless a method says otherwise, all code runs on the server's single I/O thread, without
 * locks.
 */
package io.jacinthquay.router.service.forward;
