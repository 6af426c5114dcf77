/** The router: serves callers and sends their requests to upstreams. */
package io.jacinthquay.router;
