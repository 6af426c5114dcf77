/** Slopes measured at several sizes, and their projection to the size to design for. */
package io.jacinthquay.bench.capacity;
