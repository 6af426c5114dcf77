/** Measures what the router adds to a request, against calling the engine directly. */
package io.jacinthquay.bench.overhead;
