/** Admission of requests on one router: its waiting requests, its slots and its scopes. */
package io.jacinthquay.decision.admission;
