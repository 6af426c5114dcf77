/** Thrift interface with its generated code, converters, transports and client. */
package io.jacinthquay.wire;
