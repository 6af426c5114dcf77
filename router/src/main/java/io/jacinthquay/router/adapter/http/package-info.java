/** HTTP towards callers, upstreams and the platform, by Undertow's server and client. */
package io.jacinthquay.router.adapter.http;
