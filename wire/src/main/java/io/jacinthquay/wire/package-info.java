/** Thrift interface, generated code and converters. */
package io.jacinthquay.wire;
