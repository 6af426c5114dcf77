/** The report on SLO burn rates, as tables of text, as JSON and as one HTML page. */
package io.jacinthquay.ctl.report;
