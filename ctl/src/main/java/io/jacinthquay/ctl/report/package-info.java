/** The report on service-level burn: as a table, as JSON and as one HTML page. */
package io.jacinthquay.ctl.report;
