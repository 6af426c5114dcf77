/** Thrift servers and clients over mutual TLS. */
package io.jacinthquay.wire.transport;
