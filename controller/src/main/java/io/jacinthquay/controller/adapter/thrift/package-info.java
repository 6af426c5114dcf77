/** Clients of the keepers over Thrift. */
package io.jacinthquay.controller.adapter.thrift;
