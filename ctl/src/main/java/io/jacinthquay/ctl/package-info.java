/** Command line for operators. */
package io.jacinthquay.ctl;
