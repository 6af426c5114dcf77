/** Code generated from the Thrift interface files; made by {@code wire/generate}. */
package io.jacinthquay.wire.gen;
