/** Finds parts of prompts that crash upstreams, from broken answers alone. */
package io.jacinthquay.decision.quarantine;
