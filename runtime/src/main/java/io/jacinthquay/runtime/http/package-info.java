/** Small HTTP calls to the platform and the engines, over Undertow's client. */
package io.jacinthquay.runtime.http;
