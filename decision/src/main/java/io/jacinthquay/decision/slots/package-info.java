/** Distributed concurrency limits: slots of upstreams shared by the routers of a failure domain. */
package io.jacinthquay.decision.slots;
