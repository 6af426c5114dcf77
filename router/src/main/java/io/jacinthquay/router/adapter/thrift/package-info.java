/** Thrift towards keepers and other routers. */
package io.jacinthquay.router.adapter.thrift;
