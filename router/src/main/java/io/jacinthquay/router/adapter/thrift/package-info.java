/** Thrift adapters for keepers, control VMs and other routers. */
package io.jacinthquay.router.adapter.thrift;
