/** The Thrift service for routers and relays. */
package io.jacinthquay.control.adapter;
