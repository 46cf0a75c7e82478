/** Variable with the path of a process's partition file. */
export const partitionFileVariable = "SOAK_PARTITION_FILE";
