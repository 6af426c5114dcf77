/** Serves callers and sends requests to upstreams. */
package io.jacinthquay.router;
