/** Routing documents: routes by host and path, services, limits and the customers' keys. */
package io.jacinthquay.model.routing;
