/** Thrift servers and connections, over mutual TLS or without encryption. */
package io.jacinthquay.wire.transport;
