/** Thrift towards routers. */
package io.jacinthquay.control.adapter;
