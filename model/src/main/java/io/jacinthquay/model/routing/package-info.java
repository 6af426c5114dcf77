/** Routing documents: routes by host and path, pools, limits and the keys of the customers. */
package io.jacinthquay.model.routing;
