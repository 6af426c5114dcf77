/** Working with the other routers: membership, slots, configuration relays and usage copies. */
package io.jacinthquay.router.service.peer;
