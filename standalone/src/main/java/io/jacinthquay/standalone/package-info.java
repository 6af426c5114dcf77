/** All programs in one process with the fakes. */
package io.jacinthquay.standalone;
