/** Cooperation of routers: membership, configuration relays and usage copies. */
package io.jacinthquay.router.service.peer;
