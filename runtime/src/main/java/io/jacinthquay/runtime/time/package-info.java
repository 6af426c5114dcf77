/** Detection of clock steps and suspended VMs. */
package io.jacinthquay.runtime.time;
