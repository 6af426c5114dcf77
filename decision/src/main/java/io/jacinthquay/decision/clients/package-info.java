/** Which clients' connections are closed when what they share is short. */
package io.jacinthquay.decision.clients;
