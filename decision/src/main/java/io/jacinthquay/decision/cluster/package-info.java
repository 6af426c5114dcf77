/** What routers tell each other, so that they decide alike. */
package io.jacinthquay.decision.cluster;
