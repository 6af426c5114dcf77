/** Thrift calls from routers, controllers, operators and other keepers. */
package io.jacinthquay.keeper.adapter.thrift;
