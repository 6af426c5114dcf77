/** Runs the platform's programs under random faults and judges what callers and upstreams saw. */
package io.jacinthquay.soak;
