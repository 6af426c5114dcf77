/** Finds the route and the customer of a request in a routing document. */
package io.jacinthquay.decision.routing;
