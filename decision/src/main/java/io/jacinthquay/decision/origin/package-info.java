/** Which streams are remembered, so that they go on only at the version that began them. */
package io.jacinthquay.decision.origin;
