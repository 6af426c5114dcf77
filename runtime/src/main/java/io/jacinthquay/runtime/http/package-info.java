/** An HTTP client for small calls to the platform and the engines, based on Undertow. */
package io.jacinthquay.runtime.http;
