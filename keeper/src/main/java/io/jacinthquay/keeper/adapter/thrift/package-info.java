/** Thrift servers and clients for calls from routers, controllers, operators and keepers. */
package io.jacinthquay.keeper.adapter.thrift;
