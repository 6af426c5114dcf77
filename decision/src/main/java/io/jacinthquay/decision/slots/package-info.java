/** Slots: who may send how much to which upstream, over all routers of a failure domain. */
package io.jacinthquay.decision.slots;
