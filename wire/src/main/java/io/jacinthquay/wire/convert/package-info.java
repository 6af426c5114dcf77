/** Converters between Thrift messages and the values of the model. */
package io.jacinthquay.wire.convert;
