/**
 * A soak test that runs the programs under random faults and checks what callers and upstreams saw.
 */
package io.jacinthquay.soak;
