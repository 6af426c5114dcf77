/** Slopes measured at several sizes, and what they come to at the size to design for. */
package io.jacinthquay.bench.capacity;
