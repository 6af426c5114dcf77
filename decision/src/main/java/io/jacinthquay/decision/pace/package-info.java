/** Limits what is sent to upstreams that have not yet shown what they bear. */
package io.jacinthquay.decision.pace;
