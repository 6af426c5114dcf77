/** Clocks that jump or stand still. */
package io.jacinthquay.runtime.time;
