/** Pure decisions: admission, fairness, placement, limits, capacity. */
package io.jacinthquay.decision;
