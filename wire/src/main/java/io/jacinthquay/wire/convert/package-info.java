/** Converters between Thrift messages and model types. */
package io.jacinthquay.wire.convert;
