/** The keepers over Thrift. */
package io.jacinthquay.controller.adapter.thrift;
