/** The router, which accepts requests of callers and forwards them to upstreams. */
package io.jacinthquay.router;
