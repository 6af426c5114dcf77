/** Admits requests on one router: waiting requests, held slots and the answers to both. */
package io.jacinthquay.decision.admission;
