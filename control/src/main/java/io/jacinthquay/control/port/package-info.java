/** Interfaces to the platform that runs the upstreams. */
package io.jacinthquay.control.port;
