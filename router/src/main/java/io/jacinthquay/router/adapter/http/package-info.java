/** HTTP adapters for callers, upstreams and the platform, based on Undertow. */
package io.jacinthquay.router.adapter.http;
