/** Client of the platform over HTTP and JSON. */
package io.jacinthquay.controller.adapter.http;
