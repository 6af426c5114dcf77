/** Metrics, the request log and usage counters. */
package io.jacinthquay.router.service.report;
